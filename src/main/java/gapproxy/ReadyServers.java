package gapproxy;

import gapproxy.api.Settings.Role;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The servers that the list allows new attempts at, by role and cell, each in the given order. Has to be built anew when the list changes. */
final class ReadyServers<S extends ServerView> {
  private final List<S> all = new ArrayList<>(), readers = new ArrayList<>(), writers = new ArrayList<>();
  private final Map<Role, List<S>> byRole = new EnumMap<>(Role.class);
  private final Map<Integer, List<S>> readersByCell = new HashMap<>();

  ReadyServers(Collection<S> servers) {
    servers.stream().filter(ServerView::isReady).forEach(this::add);
  }

  private void add(S server) {
    all.add(server);
    byRole.computeIfAbsent(server.role(), role -> new ArrayList<>()).add(server);
    if (server.isReader()) {
      readers.add(server);
      readersByCell.computeIfAbsent(server.line.cell(), cell -> new ArrayList<>()).add(server);
    }
    if (server.isWriter()) {
      writers.add(server);
    }
  }

  List<S> all() { return all; }

  List<S> ofRole(Role role) { return byRole.getOrDefault(role, List.of()); }

  /** The servers that read prompts for others, those that write as well included. */
  List<S> readers() { return readers; }

  List<S> readersOfCell(int cell) { return readersByCell.getOrDefault(cell, List.of()); }

  /** The servers that write answers, those that read for others as well included. */
  List<S> writers() { return writers; }
}
