package gapproxy.soak;

import gapproxy.audit.Audit;
import java.util.List;

/**
 * What the traffic of a run showed.
 *
 * @param report result of the audit of the five rules
 * @param violations everything that was found, as text
 * @param streams number of complete streams
 * @param lateStreams those of them with a late event
 * @param excusedStreams those of them with a late event while a fault delayed their bytes or their client paused reading
 * @param brokenStreams streams that gateways broke off, as far as their clients' wait was judged
 */
public record SoakVerdict(Audit.Report report, List<String> violations, int streams, int lateStreams, int excusedStreams,
    int brokenStreams) {}
