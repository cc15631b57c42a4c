package org.limpetdoor.gateway;

import org.limpetdoor.core.gateway.EngineNotice;

/**
 * Response of an engine to a request of its control interface.
 *
 * @param <T> type of the decoded content
 * @param content decoded content
 * @param notice what the engine states about itself; {@link EngineNotice#NONE} if none responded
 */
public record EngineResponse<T>(T content, EngineNotice notice) {}
