package gapproxy;

import gapproxy.api.Event;
import gapproxy.api.Event.Outcome;
import java.time.Duration;

/** One try of a req at one server, from its decision to its outcome. */
final class Attempt {
  final Rules.Req req;
  final Rules.Server server;
  /** The server's list entry at the time of the send. */
  final Event.Line line;
  final int number;
  /**
   * Whether the server was chosen as the reader for a write at another one. It is then asked for the read alone, or for the whole answer if
   * its role is BOTH.
   */
  final boolean remoteRead;
  /** Tokens that the attempt is expected to occupy at a writer. */
  final double expectedTokens;
  final Duration sentAt;
  /** Prompt tokens expected in the server's cache, those that the server has to read, and those of the latter not known to be read yet. */
  double expectedCachedTokens, tokensToRead, unreadTokens;
  /**
   * Whether the server reads the prompt and writes the answer; whether the held state is fetched from a reader in another cell; and whether
   * this attempt repeats a write at the same server after a broken connection.
   */
  boolean localRead, stateLeftCell, resent;
  /** The outcome, null while the attempt runs. */
  Outcome outcome;

  Attempt(Rules.Req req, Rules.Server server, int number, boolean remoteRead, double expectedTokens, Duration sentAt) {
    this.req = req;
    this.server = server;
    this.line = server.line;
    this.number = number;
    this.remoteRead = remoteRead;
    this.expectedTokens = expectedTokens;
    this.sentAt = sentAt;
  }

  /**
   * Whether the attempt may have had an effect. This includes attempts without an outcome, reads among them: a server that never responded
   * can't be assumed to have done nothing.
   */
  boolean mayHaveRun() {
    return outcome == null || !outcome.neverRan();
  }
}
