import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/** An ordinary client: sends one request after the other on a kept connection. */
final class OrdinaryClient implements Runnable {
  private static final int TIMEOUT_MS = 4_000;
  private static final long NOT_SENT = -1;
  private static final int HALF_SECOND_MS = 500;

  /** Results of all ordinary clients of a case. */
  static final class Results {
    /** Time until which the clients send nothing. */
    private volatile long quietUntilMs;

    final AtomicInteger answered = new AtomicInteger();
    final AtomicInteger refused = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();

    /** Requests on a kept connection that ran at an engine and whose connection was closed. */
    final AtomicInteger lost = new AtomicInteger();

    /** Requests without an answer at the timeout of their route. */
    final AtomicInteger unanswered = new AtomicInteger();

    /** Those of them that had no answer half a second later. */
    final AtomicInteger unansweredLater = new AtomicInteger();

    /** Lets the clients send nothing for a time. */
    void beQuiet(long forMs) {
      quietUntilMs = Lab.nowMs() + forMs;
    }

    private void awaitEndOfQuiet() {
      for (long ms = quietUntilMs - Lab.nowMs(); ms > 0; ms = quietUntilMs - Lab.nowMs()) {
        Lab.sleepMs(ms);
      }
    }

    void sent(long sentMs) {
      long tookMs = Lab.nowMs() - sentMs;
      if (tookMs >= Deployment.SHORT_TIMEOUT_MS) {
        unanswered.incrementAndGet();
      }
      if (tookMs >= Deployment.SHORT_TIMEOUT_MS + HALF_SECOND_MS) {
        unansweredLater.incrementAndGet();
      }
    }

    @Override
    public String toString() {
      return answered + " answered, " + refused + " refused, " + failed
          + " without an answer, of these on kept connections and passed on: " + lost
          + "; not answered at the timeout of the route: " + unanswered
          + ", of these not half a second later: " + unansweredLater;
    }
  }

  private final Lab lab;
  private final Lab.Gateway gateway;
  private final String name;
  private final String path;
  private final int pauseMs;
  private final Engine[] engines;
  private final Results results;
  private volatile boolean stopped;

  OrdinaryClient(
      Lab lab,
      Lab.Gateway gateway,
      String name,
      String path,
      int pauseMs,
      Engine[] engines,
      Results results) {
    this.lab = lab;
    this.gateway = gateway;
    this.name = name;
    this.path = path;
    this.pauseMs = pauseMs;
    this.engines = engines;
    this.results = results;
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    Http.Connection connection = null;
    boolean kept = false;
    for (int i = 1; !stopped && gateway.alive(); i++) {
      String attempt = name + "-" + i;
      long sentMs = NOT_SENT;
      results.awaitEndOfQuiet();
      try {
        if (connection == null) {
          connection = Http.connect(gateway.address(), gateway.callerPort());
          kept = false;
        }
        connection.send(
            "POST " + path + "x HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Attempt-Id: "
                + attempt + "\r\nX-Deadline-Ms: " + Deployment.SHORT_TIMEOUT_MS + "\r\nContent-Length: 2\r\n\r\nok");
        sentMs = Lab.nowMs();
        Http.Response response = connection.readResponse(TIMEOUT_MS);
        results.sent(sentMs);
        if (response.status() == 200) {
          results.answered.incrementAndGet();
          kept = true;
        } else {
          results.refused.incrementAndGet();
          lab.note(attempt + " is answered " + response.status());
        }
      } catch (IOException e) {
        if (sentMs != NOT_SENT) {
          results.sent(sentMs);
        }
        boolean ran = false;
        for (Engine engine : engines) {
          ran |= engine.runs().containsKey(attempt);
        }
        results.failed.incrementAndGet();
        // A client that gives up closes its connection itself, which is no fault of the gateway.
        boolean lost = ran && kept && !(e instanceof SocketTimeoutException);
        if (lost) {
          results.lost.incrementAndGet();
        }
        lab.note(
            attempt + " gets no answer (" + e + "); kept connection: " + kept
                + "; passed on to an engine: " + ran);
        close(connection);
        connection = null;
      }
      Lab.sleepMs(pauseMs);
    }
    close(connection);
  }

  private static void close(Http.Connection connection) {
    try {
      if (connection != null) {
        connection.close();
      }
    } catch (IOException e) {
      // It is closed already.
    }
  }
}
