package org.limpetdoor.cli;

import java.io.InputStream;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.limpetdoor.runtime.log.LogService;

/**
 * The environment of a command.
 *
 * @param input standard input
 * @param logs opens a stream of the log service, by address and name of the stream
 * @param appenders supplies a unique appender name for each publication
 * @param operators opens the operator interface of an instance, by address
 * @param progress receives progress lines of commands that take long
 * @param clockMs monotonic clock in milliseconds
 * @param retryDelayMs delay before a call is repeated, in milliseconds, at least 0
 */
record CliContext(
    InputStream input,
    BiFunction<String, String, LogService> logs,
    Supplier<String> appenders,
    Function<String, OperatorService> operators,
    Consumer<String> progress,
    LongSupplier clockMs,
    int retryDelayMs) {}
