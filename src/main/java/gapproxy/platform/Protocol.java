package gapproxy.platform;

/** Header names, paths and limits of the platform's protocol. */
final class Protocol {
  static final String ID_HEADER = "Req-Id", GROUP_HEADER = "Req-Kind", CUSTOMER_HEADER = "Req-Owner", SESSION_HEADER = "Req-Key",
      DEADLINE_HEADER = "Req-Deadline-Ms", EXTRA_HEADER = "Req-Extra";
  static final String LOAD_HEADER = "srv-load", DECLINED_HEADER = "srv-declined";
  static final String CHAT_PATH = "/v1/chat/completions", UP_PATH = "/up", LOAD_PATH = "/metrics/load", LEASES_PATH = "/kv/leases/",
      HOSTS_PATH = "/discovery/hosts";
  static final int MAX_BODY_BYTES = 256 << 10;

  private Protocol() {}
}
