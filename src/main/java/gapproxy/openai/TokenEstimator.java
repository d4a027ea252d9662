package gapproxy.openai;

import com.knuddels.jtokkit.Encodings;
import com.knuddels.jtokkit.api.Encoding;
import com.knuddels.jtokkit.api.EncodingType;

/**
 * Estimates token counts. The tokenizer runs on a sample of the text only, since a long prompt would cost more than all other processing
 * of a req. The gateway corrects the estimate by the usage that engines report.
 */
final class TokenEstimator {
  private static final int MAX_SAMPLE_CHARS = 1200, MAX_SAMPLE_CHARS_PER_MESSAGE = 300;
  private static final Encoding ENCODING = Encodings.newDefaultEncodingRegistry().getEncoding(EncodingType.CL100K_BASE);

  private TokenEstimator() {}

  /** Adds the beginning of a message to the sample while it has room. */
  static void addToSample(StringBuilder sample, String text) {
    int room = Math.min(MAX_SAMPLE_CHARS - sample.length(), MAX_SAMPLE_CHARS_PER_MESSAGE);
    if (room > 0) {
      sample.append(text, 0, Math.min(text.length(), room));
    }
  }

  /** Estimates the number of tokens per character from a sample of the text; 0 if the sample is empty. */
  static double tokensPerChar(CharSequence sample) {
    return sample.length() == 0 ? 0 : (double) ENCODING.countTokensOrdinary(sample.toString()) / sample.length();
  }
}
