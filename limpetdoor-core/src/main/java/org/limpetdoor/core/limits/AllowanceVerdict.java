package org.limpetdoor.core.limits;

/**
 * Result of the admission of a call to the allowance of its account.
 *
 * @param reason why it was admitted or refused
 * @param admittedPart part of the calls that was admitted at that time, from 0 to 1
 * @param coverage part of the instances whose use was known, from 0 to 1
 * @param retryAfterMs time after which a refused caller may return, in milliseconds; 0 if admitted
 */
public record AllowanceVerdict(
    AllowanceReason reason, double admittedPart, double coverage, long retryAfterMs) {}
