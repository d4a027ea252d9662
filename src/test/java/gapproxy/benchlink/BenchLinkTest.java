package gapproxy.benchlink;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

class BenchLinkTest {
  private static byte[] serve(String hex) throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new BenchLink().serve(new ByteArrayInputStream(HexFormat.of().parseHex(hex.replace(" ", ""))), out);
    return out.toByteArray();
  }

  private static String wrong(String hex) {
    return assertThrows(BadFrame.class, () -> serve(hex)).getMessage();
  }

  @Test
  void emptyFramesGetEmptyReplies() throws Exception {
    String empty = "00000010 00000000 0000000000805c5a";
    assertArrayEquals(HexFormat.of().parseHex("0000000400000004"), serve(empty + empty));
  }

  @Test
  void unknownCodesAndInstancesArePassedOver() throws Exception {
    assertEquals(4, serve("00000029 00000002 0000000000805c5a c8 00000003 aabbcc 16 0000000c 00000003 000000000000004d")
        .length);
  }

  @Test
  void wrongFramesAreNamed() {
    assertTrue(wrong("00000010 0000").contains("ends inside"));
    assertTrue(wrong("00000004").contains("length 4"));
    assertTrue(wrong("00000015 00000001 0000000000805c5a 16 000000ff").contains("record 0"));
    assertTrue(wrong("00000017 00000001 0000000000805c5a 16 00000002 0000").contains("a field of 4 bytes"));
    String env = "7b7d";
    assertTrue(wrong("00000027 00000001 0000000000805c5a 10 00000012 00000003 0000000000000001 00000002" + env)
        .contains("settings lack"));
  }
}
