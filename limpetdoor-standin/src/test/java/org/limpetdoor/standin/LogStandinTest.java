package org.limpetdoor.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class LogStandinTest {
  private static final String SETTINGS =
      "{\"role\": \"log\", \"address\": \"127.0.0.1:0\", /* kept */ \"retainRecords\": 2}";

  /** Guards against a long poll that misses a record appended while it waits. */
  @Test
  void longPollReturnsTheRecordAppendedWhileItWaits() throws Exception {
    try (StandinClient log = new StandinClient(SETTINGS)) {
      CompletableFuture<HttpResponse<String>> read =
          log.sendAsync("GET", "/streams/s/records?from=0&waitMs=60000", "");
      assertThat(log.appendRecord("a").get("offset").asLong()).isEqualTo(0);
      assertThat(read.get().body())
          .isEqualTo(
              "{\"records\":[{\"offset\":0,\"body\":\"YQ==\"}],\"nextOffset\":1,\"firstOffset\":0}");
    }
  }

  /**
   * Guards against a lost response that also loses the record: a retry would then make no duplicate
   * (F5).
   */
  @Test
  void lostResponseKeepsTheRecord() throws Exception {
    try (StandinClient log = new StandinClient(SETTINGS)) {
      log.injectFault("{\"kind\": \"lost_answers\", \"count\": 1}");
      assertThrows(IOException.class, () -> log.appendRecord("a"));
      assertThat(body(log.sendForJson("GET", "/streams/s/records", ""), 0)).isEqualTo("a");
    }
  }

  /** Guards against offsets that shift when old records are dropped. */
  @Test
  void retentionKeepsOffsets() throws Exception {
    try (StandinClient log = new StandinClient(SETTINGS)) {
      for (String body : new String[] {"a", "b", "c"}) {
        log.appendRecord(body);
      }
      JsonNode read = log.sendForJson("GET", "/streams/s/records?from=0", "");
      assertThat(read.get("firstOffset").asLong()).isEqualTo(1);
      assertThat(read.get("nextOffset").asLong()).isEqualTo(3);
      assertThat(body(read, 0)).isEqualTo("b");
    }
  }

  /**
   * Guards against an outage that lets reads wait instead of refusing them, or that does not end.
   */
  @Test
  void outageRefusesReadsUntilItEnds() throws Exception {
    try (StandinClient log = new StandinClient(SETTINGS)) {
      log.injectFault("{\"kind\": \"outage\"}");
      assertThat(log.send("GET", "/streams/s/records?waitMs=60000", "").statusCode())
          .isEqualTo(503);
      log.injectFault("{\"kind\": \"outage\", \"on\": false}");
      assertThat(log.appendRecord("a").get("offset").asLong()).isEqualTo(0);
    }
  }

  private static String body(JsonNode read, int index) {
    String encoded = read.get("records").get(index).get("body").asText();
    return new String(Base64.getDecoder().decode(encoded), StandardCharsets.UTF_8);
  }
}
