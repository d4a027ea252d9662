package gapproxy.openai;

import com.knuddels.jtokkit.Encodings;
import com.knuddels.jtokkit.api.Encoding;
import com.knuddels.jtokkit.api.EncodingType;

/**
 * Estimates of token counts. A tokenizer runs over a sample only, since a long prompt would cost more than all the rest
 * of a req; what engines return as usage puts the estimate right (see the gateway's ratio).
 */
final class Tokens {
  private static final int SAMPLE = 1200, PART = 300;         // characters, in all and of one message
  private static final Encoding ENCODING = Encodings.newDefaultEncodingRegistry().getEncoding(EncodingType.CL100K_BASE);

  private Tokens() {}

  /** Adds a message's beginning to a sample that has room. */
  static void sample(StringBuilder sample, String text) {
    int room = Math.min(SAMPLE - sample.length(), PART);
    if (room > 0) {
      sample.append(text, 0, Math.min(text.length(), room));
    }
  }

  /** Tokens for each character. */
  static double perChar(CharSequence sample) {
    return sample.length() == 0 ? 0 : (double) ENCODING.countTokensOrdinary(sample.toString()) / sample.length();
  }
}
