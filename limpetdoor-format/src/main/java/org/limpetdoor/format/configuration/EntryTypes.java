package org.limpetdoor.format.configuration;

import java.util.List;
import org.limpetdoor.core.config.Adapter;
import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.config.CallRule;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.FencingSupport;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.PlainService;
import org.limpetdoor.core.config.PlatformLimits;
import org.limpetdoor.core.config.QueueLimit;
import org.limpetdoor.core.config.Repeatability;
import org.limpetdoor.core.config.ServiceEndpoint;
import org.limpetdoor.core.config.ShedOrder;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ServiceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.format.json.HostPort;
import org.limpetdoor.format.json.ObjectReader;
import org.limpetdoor.format.json.ValueType;
import org.limpetdoor.format.json.ValueTypes;

/** Value types of the entries of a configuration document. */
final class EntryTypes {
  static final ValueType<Contract> CONTRACT = ValueTypes.object(EntryTypes::readContract);
  static final ValueType<Model> MODEL = ValueTypes.object(EntryTypes::readModel);
  static final ValueType<Adapter> ADAPTER = ValueTypes.object(EntryTypes::readAdapter);
  static final ValueType<Engine> ENGINE = ValueTypes.object(EntryTypes::readEngine);
  static final ValueType<PlainService> SERVICE = ValueTypes.object(EntryTypes::readService);
  static final ValueType<PlatformLimits> LIMITS = ValueTypes.object(EntryTypes::readLimits);

  private static final ValueType<KeyDigest> DIGEST =
      ValueTypes.parsed(KeyDigest::new, "64 lower-case hexadecimal digits (see key-digest)");
  private static final ValueType<String> ADDRESS =
      ValueTypes.parsed(text -> HostPort.parse(text).toString(), HostPort.ACCEPTED);

  private static final ValueType<String> METHOD =
      ValueTypes.matching("\\*|[A-Z]+", "an HTTP method in upper case, or * for any");
  private static final ValueType<String> PATH_PREFIX =
      ValueTypes.matching("/.*", "a path that begins with /");

  private EntryTypes() {}

  private static Contract readContract(ObjectReader in) {
    CustomerId customer = in.required("customer", ValueTypes.name(CustomerId::new));
    List<KeyDigest> digests = in.required("keyDigests", ValueTypes.list(DIGEST));
    ArrivalLimit arrival = in.required("arrival", ValueTypes.object(EntryTypes::readArrival));
    QueueLimit queue = in.required("queue", ValueTypes.object(EntryTypes::readQueue));
    Integer objective = in.required("firstTokenObjectiveMs", ValueTypes.integer(1));
    Double share = in.required("guaranteedShare", ValueTypes.within(0, 1));
    Integer weight = in.optional("weight", ValueTypes.integer(1), 1);
    ShedOrder order =
        in.optional("shedOrder", ValueTypes.enumConstant(ShedOrder.class), ShedOrder.NORMAL);
    return in.build(
        () -> new Contract(customer, digests, arrival, queue, objective, share, weight, order));
  }

  private static ArrivalLimit readArrival(ObjectReader in) {
    Double requests = in.required("requestsPerSecond", ValueTypes.greaterThan(0));
    Integer burstRequests = in.required("burstRequests", ValueTypes.integer(1));
    Double tokens = in.required("tokensPerSecond", ValueTypes.greaterThan(0));
    Long burstTokens = in.required("burstTokens", ValueTypes.longInteger(1));
    return in.build(() -> new ArrivalLimit(requests, burstRequests, tokens, burstTokens));
  }

  private static QueueLimit readQueue(ObjectReader in) {
    Integer requests = in.required("maxRequests", ValueTypes.integer(0));
    Long tokens = in.required("maxTokens", ValueTypes.longInteger(0));
    return in.build(() -> new QueueLimit(requests, tokens));
  }

  private static Model readModel(ObjectReader in) {
    ModelId id = in.required("id", ValueTypes.name(ModelId::new));
    String version = in.required("version", ValueTypes.text());
    Integer memory = in.required("memoryMib", ValueTypes.integer(1));
    Integer replicas = in.optional("minReplicas", ValueTypes.integer(1), 1);
    Integer longWork = in.required("longWorkTokens", ValueTypes.integer(1));
    return in.build(() -> new Model(id, version, memory, replicas, longWork));
  }

  private static Adapter readAdapter(ObjectReader in) {
    AdapterId id = in.required("id", ValueTypes.name(AdapterId::new));
    ModelId model = in.required("model", ValueTypes.name(ModelId::new));
    Integer memory = in.required("memoryMib", ValueTypes.integer(0));
    return in.build(() -> new Adapter(id, model, memory));
  }

  private static Engine readEngine(ObjectReader in) {
    BackendId id = in.required("id", ValueTypes.name(BackendId::new));
    ZoneId zone = in.required("zone", ValueTypes.name(ZoneId::new));
    String address = in.required("address", ADDRESS);
    Integer slots = in.required("slots", ValueTypes.integer(1));
    Integer memory = in.required("memoryMib", ValueTypes.integer(1));
    FencingSupport fencing = in.required("fencing", ValueTypes.enumConstant(FencingSupport.class));
    ValueType<List<ModelId>> models = ValueTypes.list(ValueTypes.name(ModelId::new));
    List<ModelId> initial = in.optional("initialModels", models, List.of());
    return in.build(() -> new Engine(id, zone, address, slots, memory, fencing, initial));
  }

  private static PlainService readService(ObjectReader in) {
    ServiceId id = in.required("id", ValueTypes.name(ServiceId::new));
    ValueType<ServiceEndpoint> endpoint = ValueTypes.object(EntryTypes::readEndpoint);
    List<ServiceEndpoint> endpoints = in.required("endpoints", ValueTypes.list(endpoint));
    ValueType<CallRule> rule = ValueTypes.object(EntryTypes::readRule);
    List<CallRule> rules = in.optional("rules", ValueTypes.list(rule), List.of());
    return in.build(() -> new PlainService(id, endpoints, rules));
  }

  private static ServiceEndpoint readEndpoint(ObjectReader in) {
    BackendId id = in.required("id", ValueTypes.name(BackendId::new));
    ZoneId zone = in.required("zone", ValueTypes.name(ZoneId::new));
    String address = in.required("address", ADDRESS);
    Integer slots = in.required("slots", ValueTypes.integer(1));
    return in.build(() -> new ServiceEndpoint(id, zone, address, slots));
  }

  private static CallRule readRule(ObjectReader in) {
    String method = in.required("method", METHOD);
    String prefix = in.optional("pathPrefix", PATH_PREFIX, "/");
    Repeatability repeat =
        in.required("repeatability", ValueTypes.enumConstant(Repeatability.class));
    return in.build(() -> new CallRule(method, prefix, repeat));
  }

  private static PlatformLimits readLimits(ObjectReader in) {
    PlatformLimits defaults = PlatformLimits.DEFAULT;
    Double rate =
        in.optional(
            "weightLoadsPerSecond", ValueTypes.greaterThan(0), defaults.weightLoadsPerSecond());
    Integer loads =
        in.optional("weightLoadsAtOnce", ValueTypes.integer(1), defaults.weightLoadsAtOnce());
    Integer adapters =
        in.optional("adapterLoadsAtOnce", ValueTypes.integer(1), defaults.adapterLoadsAtOnce());
    Long delay =
        in.optional("maxOrderDelayMs", ValueTypes.longInteger(1), defaults.maxOrderDelayMs());
    return in.build(() -> new PlatformLimits(rate, loads, adapters, delay));
  }
}
