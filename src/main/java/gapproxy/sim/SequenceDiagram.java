package gapproxy.sim;

import static j2html.TagCreator.body;
import static j2html.TagCreator.document;
import static j2html.TagCreator.h1;
import static j2html.TagCreator.head;
import static j2html.TagCreator.html;
import static j2html.TagCreator.li;
import static j2html.TagCreator.meta;
import static j2html.TagCreator.p;
import static j2html.TagCreator.style;
import static j2html.TagCreator.tag;
import static j2html.TagCreator.title;
import static j2html.TagCreator.ul;

import gapproxy.sim.Timeline.Step;
import j2html.tags.ContainerTag;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** Draws the timeline of a run as an HTML page: a lane for each participant, time downwards, an arrow for each message. */
public final class SequenceDiagram {
  private static final int LANE = 210, ROW = 18, HEADER = 40, TIME_COLUMN = 90;
  private static final String STYLE = "body{font:13px sans-serif} text{font:11px monospace} line{stroke:#888} .m{stroke:#06c} "
      + ".fault text{fill:#c00} .fault line{stroke:#c00}";

  private SequenceDiagram() {}

  /** Orders the lanes along the path of a req: clients, gateways, engines, the list service, faults. */
  private static int rank(String lane) {
    return lane.equals(Timeline.CLIENTS) ? 0 : lane.startsWith("g") ? 1 : lane.startsWith("engine") ? 2
        : lane.equals(Timeline.LIST) ? 3 : 4;
  }

  /** Returns the HTML page of a run. It is self-contained: it loads no other resource. */
  public static String render(Simulation.Verdict verdict) {
    TreeSet<String> names = new TreeSet<>(Comparator.comparingInt(SequenceDiagram::rank).thenComparing(String::length)
        .thenComparing(Comparator.naturalOrder()));
    verdict.timeline().forEach(s -> names.addAll(List.of(s.from(), s.to())));
    List<String> lanes = new ArrayList<>(names);
    int height = HEADER + (verdict.timeline().size() + 1) * ROW;
    ContainerTag<?> svg = tag("svg").attr("xmlns", "http://www.w3.org/2000/svg").attr("width", TIME_COLUMN + lanes.size() * LANE)
        .attr("height", height);
    svg.with(tag("defs").with(tag("marker").attr("id", "a").attr("orient", "auto").attr("markerWidth", 8).attr("markerHeight", 8)
        .attr("refX", 7).attr("refY", 4).with(tag("path").attr("d", "M0,0 L8,4 L0,8 z").attr("fill", "#06c"))));
    for (int i = 0; i < lanes.size(); i++) {
      svg.with(text(x(i), HEADER / 2, lanes.get(i)), line(x(i), HEADER - 10, x(i), height, null));
    }
    int y = HEADER + ROW;
    for (Step s : verdict.timeline()) {
      int from = lanes.indexOf(s.from());
      int to = lanes.indexOf(s.to());
      ContainerTag<?> group = tag("g").attr("class", s.from().equals(Timeline.FAULTS) ? "fault" : "step");
      group.with(tag("title").withText(s.toString()), text(0, y, "%.3f".formatted(s.at().toNanos() / 1e6)));
      if (from != to) {
        group.with(line(x(from), y, x(to), y, "m").attr("marker-end", "url(#a)"));
      }
      svg.with(group.with(text(x(Math.min(from, to)) + 6, y - 3, s.what())));
      y += ROW;
    }
    return document(html(
        head(meta().withCharset("utf-8"), title("gapproxy, seed " + verdict.seed()), style(STYLE).withType("text/css")),
        body(h1("Seed " + verdict.seed() + ": " + (verdict.passed() ? "held" : "broken")),
            p("Milliseconds of virtual time; ends " + verdict.ends() + ", faults " + verdict.faults()),
            ul().with(verdict.failures().stream().map(f -> li(f))), svg)));
  }

  private static int x(int lane) {
    return TIME_COLUMN + lane * LANE;
  }

  private static ContainerTag<?> text(int x, int y, String what) {
    return tag("text").attr("x", x).attr("y", y).withText(what);
  }

  private static ContainerTag<?> line(int x1, int y1, int x2, int y2, String kind) {
    ContainerTag<?> l = tag("line").attr("x1", x1).attr("y1", y1).attr("x2", x2).attr("y2", y2);
    return kind == null ? l : l.attr("class", kind);
  }
}
