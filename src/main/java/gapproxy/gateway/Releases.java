package gapproxy.gateway;

import gapproxy.runtime.Loop;
import gapproxy.trace.Metrics;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls that release states and places at servers. Each is repeated, first at once, then for half a minute more, by when servers have
 * forgotten by themselves: what stays held takes memory from every other request of that server.
 */
final class Releases {
  private static final Logger LOG = LoggerFactory.getLogger(Releases.class);
  private static final int TRIES = 4, LATER = 75;
  private final Servers servers;
  private final Function<InetSocketAddress, List<List<InetSocketAddress>>> others;
  private final Loop loop;
  private final Duration within, each;
  private final Metrics metrics;
  private int underWay;

  /** @param others servers that would release as well what is known by its req alone, by what a cut would take away together */
  Releases(Servers servers, Loop loop, Duration within, Function<InetSocketAddress, List<List<InetSocketAddress>>> others,
      Metrics metrics) {
    this.metrics = metrics;
    this.servers = servers;
    this.others = others;
    this.loop = loop;
    this.within = within;
    each = within.dividedBy(TRIES + 1);
  }

  /**
   * Releases what is held.
   *
   * @param anywhere whether every server releases it
   * @param span since when it is held; over with the acknowledgement
   */
  void release(InetSocketAddress at, String id, boolean anywhere, HeldClock.Span span) {
    new Release(at, id, false, anywhere, span).next();
  }

  /**
   * Frees what a read that was ended early may leave behind. Guards against the read that ends between this call and the
   * news of its closed connection: where nothing was held yet it is asked once more.
   *
   * @param anywhere whether every server releases it, so that one that can't be reached does not keep it held
   * @param span since when it is held; over with the acknowledgement
   */
  void releaseDoubted(InetSocketAddress at, String id, boolean anywhere, HeldClock.Span span) {
    new Release(at, id, true, anywhere, span).next();
  }

  /**
   * One state or place that is to be released. The first calls overlap and each may take the whole release time: an engine that is slow to
   * open connections would else see only calls given up too early. Later ones follow one another until the engine hears again.
   * Every second call opens a connection: all that are open may have fallen silent at one moment, while new ones pass.
   * Of other servers those are asked first that were heard lately, of each zone in turn: a cut takes many away at once, and the
   * state's own is one of them.
   */
  private final class Release {
    private final InetSocketAddress at;
    private final String id;
    private final boolean anywhere;
    private final HeldClock.Span span;
    private boolean unsure, over;
    private int calls;

    Release(InetSocketAddress at, String id, boolean unsure, boolean anywhere, HeldClock.Span span) {
      this.at = at;
      this.id = id;
      this.unsure = unsure;
      this.span = span;
      this.anywhere = anywhere;
      underWay++;
    }

    void next() {
      if (over) {
        return;
      }
      calls++;
      boolean early = calls <= TRIES;
      if (calls == TRIES + 1) {
        metrics.releaseLate();
        LOG.atWarn().addKeyValue("request_id", id).addKeyValue("held_at", at)
            .addKeyValue("held_ms", loop.now().minus(span.since).toMillis()).addKeyValue("known", span.known).addKeyValue("calls", TRIES)
            .log("release is not acknowledged in time");
        underWay--;                                            // a stop does not wait for it any longer
      } else if (calls > TRIES + LATER) {
        over = true;
        span.over();
        LOG.atWarn().addKeyValue("engine", at).addKeyValue("id", id).log("could not free what is held");
        return;
      }
      Duration begun = loop.now();
      InetSocketAddress to = next(early);
      LOG.atDebug().addKeyValue("request_id", id).addKeyValue("held_at", at).addKeyValue("server", to).addKeyValue("call", calls)
          .log("release is sent");
      servers.free(to, id, early ? within : each.multipliedBy(2), calls % 2 == 0, (well, any) -> {
        LOG.atDebug().addKeyValue("request_id", id).addKeyValue("server", to).addKeyValue("acknowledged", well)
            .addKeyValue("ms", loop.now().minus(begun).toMillis()).log("release is answered");
        metrics.release(well);
        if (over) {
          return;
        } else if (well && (any || !unsure)) {
          over = true;
          span.over();
          underWay -= calls <= TRIES ? 1 : 0;
        } else {
          unsure &= !well;
          if (!early) {
            loop.after(each.multipliedBy(2).minus(loop.now().minus(begun)), this::next);
          }
        }
      });
      if (early) {
        loop.after(each, this::next);
      }
    }

    /** First the state's own server, then others, a group of them at a time; later its own one every other time. */
    private InetSocketAddress next(boolean early) {
      int nth = early ? calls - 2 : calls / 2 - 2 + TRIES / 2;
      List<List<InetSocketAddress>> groups = anywhere && (early ? calls > 1 : calls % 2 == 0) ? others.apply(at) : List.of();
      if (groups.isEmpty()) {
        return at;
      }
      List<InetSocketAddress> of = servers.likeliestFirst(groups.get(nth % groups.size()));
      return of.get(nth / groups.size() % of.size());
    }
  }

  /** Calls that are on their way. */
  int underWay() {
    return underWay;
  }
}
