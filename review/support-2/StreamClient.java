import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;

/** An ordinary client of the model service: reads one stream after the other on a kept connection. */
final class StreamClient implements Runnable {
  private static final int TIMEOUT_MS = 12_000;
  private static final int PAUSE_MS = 20;

  private final Lab.Gateway gateway;
  private final int number;
  private final long endMs;
  private final List<Engine> sound;
  private final OrdinaryClient.Results results;

  /** Creates a client. A stream counts as lost only if one of the sound engines ran it. */
  StreamClient(
      Lab.Gateway gateway,
      int number,
      long endMs,
      List<Engine> sound,
      OrdinaryClient.Results results) {
    this.gateway = gateway;
    this.number = number;
    this.endMs = endMs;
    this.sound = sound;
    this.results = results;
  }

  @Override
  public void run() {
    int sent = 0;
    while (gateway.alive() && Lab.nowMs() < endMs) {
      boolean kept = false;
      String attempt = "";
      try (Http.Connection connection = Http.connect(gateway.address(), gateway.callerPort())) {
        while (Lab.nowMs() < endMs) {
          attempt = "stream-" + number + "-" + ++sent;
          connection.send(
              "POST " + Deployment.CHAT + "x HTTP/1.1\r\nHost: " + Deployment.HOST
                  + "\r\nX-Attempt-Id: " + attempt + "\r\nX-Model: " + Deployment.MODEL
                  + "\r\nX-Token-Usage: 100,120\r\nX-Prompt-Prefix: aa:50," + number
                  + "b:50\r\nX-Deadline-Ms: " + TIMEOUT_MS + "\r\nContent-Length: 2\r\n\r\nok");
          if (connection.readResponse(TIMEOUT_MS).status() == 200) {
            results.answered.incrementAndGet();
            kept = true;
          } else {
            results.refused.incrementAndGet();
          }
          Lab.sleepMs(PAUSE_MS);
        }
      } catch (IOException e) {
        String lastAttempt = attempt;
        boolean passedOn = sound.stream().anyMatch(engine -> engine.runs().containsKey(lastAttempt));
        results.failed.incrementAndGet();
        // A client that gives up closes its connection itself, which is no fault of the gateway.
        if (kept && passedOn && !(e instanceof SocketTimeoutException)) {
          results.lost.incrementAndGet();
        }
        Lab.sleepMs(PAUSE_MS);
      }
    }
  }
}
