package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.limpetdoor.format.json.HostPort;
import org.limpetdoor.format.record.MessagePackMaps;

@Timeout(60)
final class MinReaderVersionTest {
  private static final String CHAT =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}],\"stream\":true}";

  private final HttpClient http = HttpClient.newHttpClient();

  /** Guards against an instance that, at a record it cannot read, stops serving or stays ready. */
  @Test
  void instanceTooOldForRecordServesAndIsNotReady() throws Exception {
    byte[] laterRecord = MessagePackMaps.encode(Map.of("minReaderVersion", 2L));
    try (FakeEngine first = new FakeEngine();
        FakeEngine second = new FakeEngine()) {
      FixedLog log = new FixedLog(Fixtures.configuration(first, second), laterRecord);
      try (EntryServer server = EntryServer.start(Fixtures.settings(), log)) {
        log.awaitSubmitted();
        HttpRequest chat =
            requestTo(server.callerAddress(), "/v1/chat/completions")
                .header("Authorization", "Bearer " + Fixtures.KEY)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(CHAT))
                .build();
        assertThat(send(chat).statusCode()).isEqualTo(200);
        HttpRequest ready = requestTo(server.operatorAddress(), "/health/ready").build();
        assertThat(send(ready).statusCode()).isEqualTo(503);
        HttpRequest status = requestTo(server.operatorAddress(), "/status").build();
        assertThat(send(status).body()).contains("\"logStopped\":true");
      }
    }
  }

  private HttpResponse<String> send(HttpRequest request) throws Exception {
    return http.send(request, BodyHandlers.ofString());
  }

  private static HttpRequest.Builder requestTo(HostPort address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path));
  }
}
