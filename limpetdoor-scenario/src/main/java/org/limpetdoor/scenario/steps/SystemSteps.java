package org.limpetdoor.scenario.steps;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.limpetdoor.core.config.Adapter;
import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.config.CallRule;
import org.limpetdoor.core.config.Configuration;
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
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ServiceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.scenario.ScenarioException;
import org.limpetdoor.scenario.ScenarioKeys;
import org.limpetdoor.scenario.ScenarioSimulation;

/** Steps that set up the simulated system. */
public final class SystemSteps {
  private static final int ENGINE_MEMORY_MIB = 80_000;
  private static final int MODEL_MEMORY_MIB = 10_000;
  private static final Set<String> CUSTOMER_COLUMNS =
      Set.of(
          "customer",
          "requests per second",
          "burst requests",
          "tokens per second",
          "burst tokens",
          "queue requests",
          "queue tokens",
          "objective ms",
          "guaranteed",
          "weight",
          "shed");

  private final ScenarioSimulation simulation;

  /** Creates the steps of one scenario. */
  public SystemSteps(ScenarioSimulation simulation) {
    this.simulation = simulation;
  }

  @Given("a model {string}")
  public void model(String name) {
    longWorkModel(name, 1_000);
  }

  @Given("a model {string} with long work from {int} tokens")
  public void longWorkModel(String name, int longWorkTokens) {
    List<Model> models = new ArrayList<>(configuration().models().values());
    models.add(new Model(new ModelId(name), "v1", MODEL_MEMORY_MIB, 2, longWorkTokens));
    simulation.configure(configuration().withModels(models));
  }

  @Given("{int} adapters of model {string}")
  public void adapters(int count, String model) {
    for (int number = 1; number <= count; number++) {
      adapter("a" + number, model);
    }
  }

  @Given("at most {int} adapter loads at once")
  public void adapterLoads(int limit) {
    PlatformLimits current = configuration().limits();
    simulation.configure(
        configuration()
            .withLimits(
                new PlatformLimits(
                    current.weightLoadsPerSecond(),
                    current.weightLoadsAtOnce(),
                    limit,
                    current.maxOrderDelayMs())));
  }

  @Given("an adapter {string} of model {string}")
  public void adapter(String name, String model) {
    List<Adapter> adapters = new ArrayList<>(configuration().adapters().values());
    adapters.add(new Adapter(new AdapterId(name), new ModelId(model), 100));
    simulation.configure(configuration().withAdapters(adapters));
  }

  @Given("{int} engine(s) with {int} slot(s) in zone {string} for model {string}")
  public void engines(int count, int slots, String zone, String model) {
    List<Engine> engines = new ArrayList<>(configuration().engines().values());
    int first = engines.size() + 1;
    for (int number = first; number < first + count; number++) {
      engines.add(
          new Engine(
              new BackendId("e" + number),
              new ZoneId(zone),
              "127.0.0.1:" + (9_000 + number),
              slots,
              ENGINE_MEMORY_MIB,
              FencingSupport.CHECKED,
              List.of(new ModelId(model))));
    }
    simulation.configure(configuration().withEngines(engines));
  }

  @When("back end {string} is removed from the configuration")
  public void removeEngine(String name) {
    List<Engine> engines = new ArrayList<>(configuration().engines().values());
    engines.removeIf(engine -> engine.id().value().equals(name));
    simulation.configure(configuration().withEngines(engines));
  }

  @Given("a plain service {string} with {int} endpoint(s) of {int} slot(s)")
  public void service(String name, int count, int slots) {
    List<ServiceEndpoint> endpoints = new ArrayList<>();
    for (int number = 1; number <= count; number++) {
      endpoints.add(
          new ServiceEndpoint(
              new BackendId(name + number), new ZoneId("a"), "127.0.0.1:" + number, slots));
    }
    List<CallRule> rules = List.of(new CallRule("GET", "/", Repeatability.IDEMPOTENT));
    List<PlainService> services = new ArrayList<>(configuration().services().values());
    services.add(new PlainService(new ServiceId(name), endpoints, rules));
    simulation.configure(configuration().withServices(services));
  }

  @Given("the customers")
  public void customers(List<Map<String, String>> table) {
    List<Contract> contracts = new ArrayList<>(configuration().contracts().values());
    for (Map<String, String> cells : table) {
      contracts.add(contract(Row.of(cells, CUSTOMER_COLUMNS)));
    }
    simulation.configure(configuration().withContracts(contracts));
  }

  @Given("a customer {string}")
  public void customer(String name) {
    customers(List.of(Map.of("customer", name)));
  }

  @Given("an instance in zone {string}")
  public void instance(String zone) {
    simulation.addInstance(zone);
  }

  @Given("load reports that lag by {int} ms")
  public void loadReports(int lagMs) {
    simulation.setLoadReportLagMs(lagMs);
  }

  private Configuration configuration() {
    return simulation.configuration();
  }

  private static Contract contract(Row row) {
    CustomerId id = new CustomerId(row.text("customer"));
    return new Contract(
        id,
        List.of(ScenarioKeys.digest(id)),
        new ArrivalLimit(
            row.number("requests per second", 10_000),
            (int) row.number("burst requests", 10_000),
            row.number("tokens per second", 10_000_000),
            (long) row.number("burst tokens", 10_000_000)),
        new QueueLimit(
            (int) row.number("queue requests", 10_000),
            (long) row.number("queue tokens", 10_000_000)),
        (int) row.number("objective ms", 1_000),
        row.number("guaranteed", 0),
        (int) row.number("weight", 1),
        shedOrder(row.text("shed", "normal")));
  }

  private static ShedOrder shedOrder(String value) {
    try {
      return ShedOrder.valueOf(value.toUpperCase(java.util.Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new ScenarioException("shed order '" + value + "', accepted: first, normal, last");
    }
  }
}
