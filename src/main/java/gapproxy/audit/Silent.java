package gapproxy.audit;

import java.time.Duration;

/** Traffic that nobody judges. */
public final class Silent implements Traffic {
  @Override
  public void asked(Duration at, String req, int n, String gateway, String repeat, Duration budget) {}

  @Override
  public void answered(Duration at, String req, int n, Answer how) {}

  @Override
  public void after(Duration at, String req, int n, String what) {}

  @Override
  public void left(Duration at, String req, int n, Left how) {}

  @Override
  public void firstToken(Duration at, String req, int n) {}

  @Override
  public void forward(Duration at, long engine, String gateway, String req, String id, boolean read) {}

  @Override
  public void ran(Duration at, long engine, String req, String id, String key) {}

  @Override
  public void ended(Duration at, long engine, String id) {}

  @Override
  public void holds(Duration at, long engine, String req, String id) {}

  @Override
  public void freed(Duration at, long engine, String id, boolean taken) {}

  @Override
  public void told(Duration at, String gateway, long engine, boolean usable) {}

  @Override
  public void gateway(Duration at, String gateway, boolean up) {}

  @Override
  public void tipped(Duration at, long engine, String why) {}
}
