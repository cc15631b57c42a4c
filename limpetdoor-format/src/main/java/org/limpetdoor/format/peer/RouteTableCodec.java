package org.limpetdoor.format.peer;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.gateway.CallKind;
import org.limpetdoor.core.gateway.Route;
import org.limpetdoor.core.gateway.Route.WeightedService;
import org.limpetdoor.core.gateway.RouteTable;
import org.limpetdoor.core.gateway.RouteTable.CallerLimits;
import org.limpetdoor.core.gateway.ServiceSpec;
import org.limpetdoor.core.gateway.ServiceSpec.EngineSpec;
import org.limpetdoor.core.gateway.ServiceSpec.ModelSpec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Encodes and decodes a version of the routes. */
final class RouteTableCodec {
  private RouteTableCodec() {}

  static void pack(MessageBufferPacker packer, RouteTable table) throws IOException {
    packer.packLong(table.version());
    List<Route> routes = table.routes().values().stream().flatMap(List::stream).toList();
    Values.packList(packer, routes, RouteTableCodec::packRoute);
    Values.packList(packer, table.services().values(), RouteTableCodec::packService);
    packer.packInt(table.limits().maxHeaderBytes());
    packer.packInt(table.limits().maxBodyBytes());
    packer.packInt(table.limits().headerTimeoutMs());
    packer.packInt(table.limits().idleTimeoutMs());
    AccountTableCodec.pack(packer, table.accounts());
  }

  static RouteTable unpack(MessageUnpacker unpacker) throws IOException {
    long version = unpacker.unpackLong();
    List<Route> routes = Values.unpackList(unpacker, RouteTableCodec::unpackRoute);
    List<ServiceSpec> services = Values.unpackList(unpacker, RouteTableCodec::unpackService);
    CallerLimits limits =
        new CallerLimits(
            unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt());
    return RouteTable.of(version, routes, services, limits, AccountTableCodec.unpack(unpacker));
  }

  private static void packRoute(MessageBufferPacker packer, Route route) throws IOException {
    packer.packString(route.name());
    packer.packString(route.host());
    packer.packString(route.pathPrefix());
    packer.packInt(route.kind().ordinal());
    packer.packInt(route.timeoutMs());
    packer.packInt(route.targetLatencyMs());
    packer.packInt(route.maxAttempts());
    packer.packInt(route.priority());
    packer.packBoolean(route.resumable());
    packer.packInt(route.maxGapMs());
    packer.packBoolean(route.anonymousAccess());
    Values.packList(
        packer,
        route.services(),
        (writer, service) -> {
          writer.packString(service.service());
          writer.packInt(service.weight());
        });
  }

  private static Route unpackRoute(MessageUnpacker unpacker) throws IOException {
    return new Route(
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackString(),
        Values.constant(unpacker, CallKind.values()),
        unpacker.unpackInt(),
        unpacker.unpackInt(),
        unpacker.unpackInt(),
        unpacker.unpackInt(),
        unpacker.unpackBoolean(),
        unpacker.unpackInt(),
        unpacker.unpackBoolean(),
        Values.unpackList(
            unpacker, reader -> new WeightedService(reader.unpackString(), reader.unpackInt())));
  }

  private static void packService(MessageBufferPacker packer, ServiceSpec service)
      throws IOException {
    packer.packString(service.name());
    packer.packInt(service.maxConnections());
    packer.packBoolean(service.engine().isPresent());
    if (service.engine().isEmpty()) {
      return;
    }
    EngineSpec engine = service.engine().get();
    packer.packLong(engine.cacheTokens());
    packer.packDouble(engine.weightsMb());
    packer.packInt(engine.adapterCapacity());
    packer.packDouble(engine.loadsPerS());
    Values.packList(packer, engine.models().values(), RouteTableCodec::packModel);
  }

  private static ServiceSpec unpackService(MessageUnpacker unpacker) throws IOException {
    String name = unpacker.unpackString();
    int maxConnections = unpacker.unpackInt();
    boolean hasEngine = unpacker.unpackBoolean();
    Optional<EngineSpec> engine =
        hasEngine ? Optional.of(unpackEngine(unpacker)) : Optional.empty();
    return new ServiceSpec(name, maxConnections, engine);
  }

  private static EngineSpec unpackEngine(MessageUnpacker unpacker) throws IOException {
    long cacheTokens = unpacker.unpackLong();
    double weightsMb = unpacker.unpackDouble();
    int adapterCapacity = unpacker.unpackInt();
    double loadsPerS = unpacker.unpackDouble();
    PMap<String, ModelSpec> models = HashTreePMap.empty();
    for (ModelSpec model : Values.unpackList(unpacker, RouteTableCodec::unpackModel)) {
      models = models.plus(model.name(), model);
    }
    return new EngineSpec(cacheTokens, weightsMb, adapterCapacity, loadsPerS, models);
  }

  private static void packModel(MessageBufferPacker packer, ModelSpec model) throws IOException {
    packer.packString(model.name());
    packer.packDouble(model.weightsMb());
    packer.packLong(model.loadMs());
    packer.packLong(model.copyLoadMs());
    packer.packDouble(model.adapterMb());
  }

  private static ModelSpec unpackModel(MessageUnpacker unpacker) throws IOException {
    return new ModelSpec(
        unpacker.unpackString(),
        unpacker.unpackDouble(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackDouble());
  }
}
