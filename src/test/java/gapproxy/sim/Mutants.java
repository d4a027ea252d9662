package gapproxy.sim;

import java.io.IOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/**
 * Mutation testing: each mutant has one fault, planted by replacing text at one place in the source. It is compiled, and run with the other
 * classes of the build.
 */
final class Mutants {
  /**
   * A fault that is planted by replacing text in a source file.
   *
   * @param original text that occurs exactly once in the file
   */
  record Mutant(String name, String file, String original, String replacement) {}

  private static final String GATEWAY = "gateway/Gateway.java", HELD = "gateway/HeldResources.java", CHAT = "gateway/ChatFrontend.java";

  static final List<Mutant> ALL = List.of(
      new Mutant("no final answer to a pushback", GATEWAY,
          "() -> req.client.pushBack(retryIn, serversUnavailable));\n    finishIfOver(req);",
          "() -> { });\n    finishIfOver(req);"),
      new Mutant("the stream goes on after its end", CHAT, "        flush();\n        exchange.end();",
          "        bufferWrite(\"data: [DONE]\\n\\n\".getBytes(StandardCharsets.UTF_8));\n        flush();\n        exchange.end();"),
      new Mutant("an abort in a stream ends as done", CHAT,
          "        exchange.write(\"data: \" + e.toJson() + \"\\n\\n\");\n        exchange.abort();", "        exchange.end();"),
      new Mutant("a client that leaves is not noticed", GATEWAY, "      clientReq.onDisconnect(() -> left(req));\n", ""),
      new Mutant("the budget is not kept by time-outs", GATEWAY,
          "    attempt.timeoutTimer = loop.after(action.timeOut().minus(loop.now().minus(stepTime)), () -> {",
          "    attempt.timeoutTimer = loop.after(action.timeOut().plus(Duration.ofSeconds(5)), () -> {"),
      new Mutant("whole answers have no deadline", GATEWAY, "    if (req.client.streaming()) {\n",
          "    req.deadlineTimer.cancel();\n    if (req.client.streaming()) {\n"),
      new Mutant("a silent engine is waited for", GATEWAY, "    streamWatch.watch(attempt);\n    req.timeToFirstToken", "    req.timeToFirstToken"),
      new Mutant("a forward's end is not told", GATEWAY,
          "    pendingEvents.add(new Event.Ended(req.number, attempt.number, outcome, stateGone ? 1 : note, req.answered,\n"
              + "        loop.now().minus(attempt.startedAt), attempt.loadReport));\n", ""),
      new Mutant("a cancel does not close the call", GATEWAY,
          "    } else if (attempt.call != null && (outcome == Outcome.CANCELLED || outcome == Outcome.NO_CONNECTION || outcome == Outcome.NOT_SENT)) {",
          "    } else if (attempt.call != null && outcome == Outcome.TIMED_OUT) {"),
      new Mutant("a drop frees nothing", HELD, "      releases.begin(ledger);\n", ""),
      new Mutant("a state is freed two seconds late", "gateway/Releases.java", "      round.begin();",
          "      loop.after(Duration.ofSeconds(2), round::begin);"),
      new Mutant("an ended read leaves its state", HELD, "attempt.isRead() && attempt.outcome != Outcome.FULL;",
          "attempt.outcome == Outcome.READ;"),
      new Mutant("a read's lost race is not tried again", "gateway/HeldResourceLedger.java",
          "proven && mayActUntil.compareTo(releaseStartedAt) <= 0", "proven"),
      new Mutant("drains are not passed on", "gateway/Fleet.java", "Event.State.valueOf(e.state().name())", "Event.State.READY"),
      new Mutant("a list is taken once only", "list/LongPollListSource.java", "    if (changed) {\n      listener.onList(list);\n    }",
          "    if (changed && index < 2) {\n      listener.onList(list);\n    }"),
      new Mutant("the start time of a server is left out", "gateway/Fleet.java",
          "    } else if (e.upSince() == null) {", "    } else if (true) {"),
      new Mutant("non-replayable reqs pass as replayable", "config/Config.java", "Repeat.valueOf(g.repeat.toUpperCase(Locale.ROOT))",
          "Repeat.REPLAYABLE"),
      new Mutant("broken counts as never sent", GATEWAY, "      case BROKEN -> Outcome.BROKEN;",
          "      case BROKEN -> Outcome.NO_CONNECTION;"),
      new Mutant("time-outs count as full", GATEWAY, "        endAttempt(attempt, Outcome.TIMED_OUT, 0, \"no answer within",
          "        endAttempt(attempt, Outcome.FULL, 0, \"no answer within"),
      new Mutant("ended reqs are never forgotten", GATEWAY, "    finishedReqs.forEach(this::forget);\n", ""),
      new Mutant("an answered req's timer runs on", GATEWAY, "    req.deadlineTimer.cancel();\n    sendAnswer.run();",
          "    sendAnswer.run();"),
      new Mutant("a req is forgotten before the decisions heard of it", GATEWAY, "      finishedReqs.add(req);",
          "      openReqs.remove(req.number);"),
      new Mutant("a client's key is not passed on", CHAT,
          "      idempotencyKey = idempotencyKey == null && frontend.config.groups().get(attributes.group()).repeat().equals(\"keyed\")\n"
              + "          ? reqName : idempotencyKey;", "      idempotencyKey = reqName;"),
      new Mutant("a failed list is never asked for again", GATEWAY,
          "    } else if (action instanceof Action.Subscribe) {\n      listSource.subscribe();",
          "    } else if (action instanceof Action.Subscribe) {\n"
              + "      if (loop.now().toMillis() < 200) {\n        listSource.subscribe();\n      }"),
      new Mutant("a connection that broke is used again", "http/HttpClient.java", "        ready.remove(this);\n", ""),
      new Mutant("a cancelled call's connection is used again", "http/HttpClient.java",
          "          connection.call = null;\n          connection.retainedCharge.tryResize(0);\n"
              + "          connection.connection.terminateSilently();",
          "          connection.call = null;\n          connection.retainedCharge.tryResize(0);\n          connection.returnToPool();"));

  private Mutants() {}

  private static String found(Object simulation) throws Exception {
    Object verdict;
    try {
      verdict = simulation.getClass().getMethod("run").invoke(simulation);
    } catch (java.lang.reflect.InvocationTargetException e) {
      return String.valueOf(e.getCause());
    }
    List<?> found = (List<?>) verdict.getClass().getMethod("failures").invoke(verdict);
    return found.isEmpty() ? null : String.valueOf(found.get(0));
  }

  /** Searches for a failure with the classes of a mutant; returns its description, or null. */
  private interface Search {
    String in(ClassLoader loader) throws Exception;
  }

  /** The first violation of the rule model in the given number of seeds of a test driver class, or null. */
  static String find(Mutant mutant, String drive, long seeds) throws Exception {
    return with(mutant, loader -> (String) loader.loadClass(drive).getMethod("firstBroken", long.class, long.class)
        .invoke(null, 1L, seeds));
  }

  /** The first seed whose run fails with the mutant, or else the first such plan of the corpus, and the failure; null if none fails. */
  static String find(Mutant mutant, int seeds) throws Exception {
    return with(mutant, loader -> {
      Class<?> simulationClass = loader.loadClass("gapproxy.sim.Simulation");
      for (int seed = 1; seed <= seeds; seed++) {
        String found = found(simulationClass.getConstructor(long.class, boolean.class).newInstance((long) seed, false));
        if (found != null) {
          return "seed " + seed + ": " + found;
        }
      }
      // The plans of the corpus cover combinations that seeds rarely produce.
      Class<?> planClass = loader.loadClass("gapproxy.sim.Plan");
      for (Path file : SimTest.corpus().toList()) {
        Object plan = planClass.getMethod("parse", String.class, String.class).invoke(null, Files.readString(file), file.toString());
        String found = found(simulationClass.getConstructor(planClass, boolean.class).newInstance(plan, false));
        if (found != null) {
          return file.getFileName() + ": " + found;
        }
      }
      return null;
    });
  }

  private static String with(Mutant mutant, Search search) throws Exception {
    Path sources = Path.of("src/main/java/gapproxy");
    Path classes = Path.of("target/classes").toAbsolutePath();
    String text = Files.readString(sources.resolve(mutant.file));
    if (text.split(java.util.regex.Pattern.quote(mutant.original), -1).length != 2) {
      throw new IllegalStateException(mutant.name + ": the text to replace does not occur exactly once in " + mutant.file);
    }
    Path out = Files.createTempDirectory("mutant");
    Path file = out.resolve("src").resolve(mutant.file);
    Files.createDirectories(file.getParent());
    Files.writeString(file, text.replace(mutant.original, mutant.replacement));
    JavaCompiler javac = ToolProvider.getSystemJavaCompiler();
    int failed = javac.run(null, null, System.err, "-nowarn", "-d", out.toString(), "-cp",
        classes + java.io.File.pathSeparator + System.getProperty("java.class.path"), file.toString());
    if (failed != 0) {
      throw new IllegalStateException(mutant.name + " does not compile");
    }
    try (Loader loader = new Loader(out.toUri().toURL(), classes.toUri().toURL(),
        Path.of("target/test-classes").toUri().toURL())) {
      return search.in(loader);
    } finally {
      delete(out);
    }
  }

  private static void delete(Path dir) throws IOException {
    List<Path> all = new ArrayList<>();
    try (var files = Files.walk(dir)) {
      files.forEach(all::add);
    }
    for (int i = all.size() - 1; i >= 0; i--) {
      Files.delete(all.get(i));
    }
  }

  /** Loads the program's classes from the mutant and the build instead of from its parent; libraries are shared. */
  private static final class Loader extends URLClassLoader {
    Loader(URL... from) {
      super(from, Mutants.class.getClassLoader());
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
      if (!name.startsWith("gapproxy.")) {
        return super.loadClass(name, resolve);
      }
      synchronized (getClassLoadingLock(name)) {
        Class<?> loadedClass = findLoadedClass(name);
        return loadedClass != null ? loadedClass : findClass(name);
      }
    }
  }
}
