package org.limpetdoor.cli;

import java.io.InputStream;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.limpetdoor.runtime.log.LogService;

/**
 * What commands use of their surroundings.
 *
 * @param input standard input
 * @param logs opens a stream of the log service, by address and name of the stream
 * @param appenders gives each publication a name that no other publication has
 * @param operators opens the operator interface of an instance, by address
 * @param progress takes a line about the progress of a command that waits
 * @param clockMs monotonic clock in milliseconds
 * @param retryDelayMs wait before a call is repeated, in milliseconds, at least 0
 */
record CliContext(
    InputStream input,
    BiFunction<String, String, LogService> logs,
    Supplier<String> appenders,
    Function<String, OperatorService> operators,
    Consumer<String> progress,
    LongSupplier clockMs,
    int retryDelayMs) {}
