package gapproxy.gateway;

/** The stage of a req. Its letter is the second of the two letters that the log entry of the req gives as the cause of its end. */
enum Stage {
  /** Accepted, with no attempt in flight and no held state. */
  WAITING('W'),
  /** A reader is processing the prompt. */
  READING('R'),
  /** Its state is held at a reader, with no attempt in flight. */
  HELD('H'),
  /** An attempt at a writer is in flight, and no token has arrived. */
  WRITING('F'),
  /** Tokens are arriving. */
  STREAMING('S'),
  /** The final answer was given. */
  ANSWERED('-');

  final char causeLetter;

  Stage(char letter) {
    this.causeLetter = letter;
  }
}
