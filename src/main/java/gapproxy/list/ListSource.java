package gapproxy.list;

/** Delivers server lists and changes to them. Belongs to the loop that it was created with. */
public interface ListSource {
  /** Receives lists and failures. */
  interface Listener {
    /** A complete list or changes to it, in order and without gaps. */
    void onList(ServerList list);

    /** The list is not available at present; the last one stays in use. */
    void onFailure(String why);
  }

  /** Starts delivering lists, or restarts after a failure. */
  void subscribe();

  /** Stops delivering lists. */
  void close();
}
