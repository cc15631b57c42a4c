/** Configuration of a small deployment: a model service, a plain service and a route to each. */
final class Deployment {
  static final String HOST = "shop.example";
  static final String CHAT = "/chat/";
  static final String BATCH = "/batch/";
  static final String RESERVE = "/reserve/";
  static final String LOOKUP = "/lookup/";
  static final int SHORT_TIMEOUT_MS = 2_500;
  static final String MODEL = "model-a";

  private Deployment() {}

  static String configuration(int version) {
    return ("{\"version\":%d,\"routes\":["
            + route("chat", CHAT, "streaming", 12_000, 400, 2, "scribe", true)
            + ","
            + route("batch", BATCH, "streaming", 15_000, 2_000, 1, "scribe", true)
            + ","
            + route("reserve", RESERVE, "non_idempotent", SHORT_TIMEOUT_MS, 141, 1, "ledger", false)
            + ","
            + route("lookup", LOOKUP, "idempotent", SHORT_TIMEOUT_MS, 141, 2, "ledger", false)
            + "],\"services\":[{\"name\":\"scribe\",\"healthPath\":\"/health\","
            + "\"maxConnections\":500,\"engine\":{\"slots\":96,\"kvCacheTokens\":158749,"
            + "\"models\":[{\"name\":\"model-a\",\"weightsMb\":34300.0,\"loadTimeS\":2.0,"
            + "\"adapters\":0,\"adapterSizeMb\":40.0}],\"weightsMb\":83000.0,"
            + "\"adapterCapacity\":5,\"loadsPerS\":1.8}},"
            + "{\"name\":\"ledger\",\"healthPath\":\"/health\",\"maxConnections\":110}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}")
        .formatted(version);
  }

  private static String route(
      String name,
      String prefix,
      String kind,
      int timeoutMs,
      int targetMs,
      int maxAttempts,
      String service,
      boolean stream) {
    String gap = stream ? ",\"resumable\":true,\"targetGapMs\":200,\"sessionAffinity\":true" : "";
    return ("{\"name\":\"%s\",\"host\":\"%s\",\"pathPrefix\":\"%s\",\"kind\":\"%s\","
            + "\"timeoutMs\":%d,\"targetLatencyMs\":%d,\"priority\":1,\"service\":\"%s\","
            + "\"maxAttempts\":%d%s}")
        .formatted(name, HOST, prefix, kind, timeoutMs, targetMs, service, maxAttempts, gap);
  }
}
