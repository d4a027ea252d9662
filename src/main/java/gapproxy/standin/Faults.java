package gapproxy.standin;

import java.time.Duration;

/** The faults that are currently injected into an emulated engine. Read and written on the engine's loop. */
public final class Faults {
  /** Factor by which all work takes longer. */
  public double slowdownFactor = 1;
  /** Share of forwards, 0 to 1, that fail at once with status 500. */
  public double failShare;
  /** Rejects every forward with status 429, as if all slots and the queue were full. */
  public boolean rejectsAll;
  /** Fails to fetch the states that other engines hold, and answers 410 as if they were gone. */
  public boolean cannotFetchStates;
  /** Share of forwards, 0 to 1, whose connection is closed after the work has begun. */
  public double resetShare;
  /** Accepts requests and never answers them, metrics requests included. */
  public boolean silent;
  /** Does the work and answers metrics requests, but never answers a forward. */
  public boolean dropsAnswers;
  /** Additional delay of the first request on each connection, as with a slow handshake. */
  public Duration firstRequestDelay = Duration.ZERO;
  /** Delay before each request is processed. */
  public Duration requestDelay = Duration.ZERO;
  /** Time between the last event of a stream and the end of its response. */
  public Duration streamEndDelay = Duration.ZERO;
  /** Age of the reported load. */
  public Duration reportDelay = Duration.ZERO;
  /** Share of the memory, 0 to 1, that is unavailable to reqs. */
  public double memoryTakenShare;
  /** How the reported load is corrupted: 0 not at all, 1 empty report, 2 NaN in place of the values, 3 huge negative values. */
  public int reportFault;
  /** Names of gateways whose requests are accepted but never answered, as in a network partition. */
  public java.util.Set<String> unreachableGateways = java.util.Set.of();
  /** Factor by which the transfer of a held state to this engine takes longer. */
  public double transferSlowdownFactor = 1;
}
