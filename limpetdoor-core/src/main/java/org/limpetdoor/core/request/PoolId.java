package org.limpetdoor.core.request;

/**
 * Identifies a pool: requests of one work class for one upstream. Each class has its own queue, so
 * that long work that has used up its slots does not block short work.
 *
 * @param upstream the upstream
 * @param workClass the class
 */
record PoolId(UpstreamId upstream, WorkClass workClass) {}
