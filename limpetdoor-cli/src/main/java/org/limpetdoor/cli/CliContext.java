package org.limpetdoor.cli;

import java.io.InputStream;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.limpetdoor.runtime.log.LogService;

/**
 * What commands use of their surroundings.
 *
 * @param input standard input
 * @param logs opens a stream of the log service, by address and name of the stream
 * @param appenders gives each publication a name that no other publication has
 * @param retryDelayMs wait before an append is repeated, in milliseconds, at least 0
 */
record CliContext(
    InputStream input,
    BiFunction<String, String, LogService> logs,
    Supplier<String> appenders,
    int retryDelayMs) {}
