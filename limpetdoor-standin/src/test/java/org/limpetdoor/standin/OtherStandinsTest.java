package org.limpetdoor.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.junit.jupiter.api.Test;

class OtherStandinsTest {
  /**
   * Guards against a lost response whose call is not counted, which would hide a second execution
   * (I5).
   */
  @Test
  void lostResponseCountsAsExecution() throws Exception {
    try (StandinClient service = new StandinClient(settings("service", ""))) {
      service.injectFault("{\"kind\": \"lost_replies\", \"count\": 1}");
      assertThrows(IOException.class, () -> service.send("PUT", "/charge/1", "x"));
      assertThat(service.sendForJson("POST", "/charge/1", "x").get("executions").asInt())
          .isEqualTo(2);
      assertThat(service.sendForJson("GET", "/executions", "").toString())
          .isEqualTo("{\"executions\":{\"x\":2}}");
    }
  }

  /** Guards against a change that becomes visible before the lag has passed. */
  @Test
  void changedListBecomesVisibleAfterTheLag() throws Exception {
    String list =
        "{\"instances\":[{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"state\":\"live\"}]}";
    try (StandinClient lagging = new StandinClient(settings("instances", ", \"lagMs\": 3600000"));
        StandinClient immediate = new StandinClient(settings("instances", ""))) {
      lagging.send("PUT", "/instances", list);
      immediate.send("PUT", "/instances", list);
      assertThat(lagging.send("GET", "/instances", "").body()).isEqualTo("{\"instances\":[]}");
      assertThat(immediate.send("GET", "/instances", "").body()).isEqualTo(list);
    }
  }

  /** Guards against a load request that is never answered. */
  @Test
  void loadIsAnsweredWhenFinished() throws Exception {
    String members = ", \"loadsPerSecond\": 1000, \"fullSpeedLoads\": 1";
    try (StandinClient weights = new StandinClient(settings("weights", members))) {
      String load = "{\"model\":\"m\",\"engine\":\"e\"}";
      assertThat(weights.send("POST", "/loads", load).body()).isEqualTo(load);
    }
  }

  /** Guards against a settings error without the position of the invalid member. */
  @Test
  void invalidSettingsReportThePosition() {
    String text = "{\n  \"role\": \"log\",\n  \"adress\": \"127.0.0.1:0\"\n}";
    InvalidStandinSettingsException error =
        assertThrows(
            InvalidStandinSettingsException.class, () -> StandinSettingsFile.parse("f.json", text));
    assertThat(error).hasMessageThat().startsWith("f.json:3:");
    assertThat(error).hasMessageThat().contains("accepted form");
  }

  private static String settings(String role, String members) {
    return "{\"role\": \"" + role + "\", \"address\": \"127.0.0.1:0\"" + members + "}";
  }
}
