package gapproxy.benchlink;

import java.nio.ByteBuffer;

/** Reads the fields of one record in order. Fields missing at the end of the record read as zero; a truncated field is an error. */
final class FieldReader {
  private final ByteBuffer in;
  private final String location;

  FieldReader(ByteBuffer in, String location) {
    this.in = in;
    this.location = location;
  }

  /** Whether a field of this size follows; false at the end of the record. */
  private boolean hasField(int bytes) throws MalformedFrameException {
    if (!in.hasRemaining()) {
      return false;
    }
    if (in.remaining() < bytes) {
      throw new MalformedFrameException(location + ": a field of " + bytes + " bytes is truncated to " + in.remaining());
    }
    return true;
  }

  /** The frame, number and code of the record, for error messages. */
  String location() {
    return location;
  }

  boolean hasRemaining() {
    return in.hasRemaining();
  }

  int u8() throws MalformedFrameException {
    return hasField(1) ? in.get() & 0xff : 0;
  }

  int u16() throws MalformedFrameException {
    return hasField(2) ? in.getShort() & 0xffff : 0;
  }

  long u32() throws MalformedFrameException {
    return hasField(4) ? in.getInt() & 0xffffffffL : 0;
  }

  long u64() throws MalformedFrameException {
    return hasField(8) ? in.getLong() : 0;
  }

  double f32() throws MalformedFrameException {
    return hasField(4) ? in.getFloat() : 0;
  }

  /** Reads a byte string with a length prefix. */
  ByteBuffer byteString() throws MalformedFrameException {
    return takeSlice(u32());
  }

  /** Reads a count and that many entries of {@code bytes} bytes each; returns a reader of their fields. */
  FieldReader entries(int bytes) throws MalformedFrameException {
    return new FieldReader(takeSlice(u32() * bytes), location);
  }

  private ByteBuffer takeSlice(long length) throws MalformedFrameException {
    if (length > in.remaining()) {
      throw new MalformedFrameException(location + ": length " + length + " exceeds the remaining " + in.remaining() + " bytes");
    }
    ByteBuffer slice = in.slice(in.position(), (int) length);
    in.position(in.position() + (int) length);
    return slice;
  }

  /** Reads a load report: a count of values and the values. */
  double[] report() throws MalformedFrameException {
    double[] values = new double[u8()];
    if (values.length * 4 > in.remaining()) {
      throw new MalformedFrameException(location + ": a report of " + values.length + " values is truncated");
    }
    for (int i = 0; i < values.length; i++) {
      values[i] = f32();
    }
    return values;
  }
}
