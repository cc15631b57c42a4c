package org.limpetdoor.core.config;

/**
 * Rule that states whether matching calls of a plain service may be repeated.
 *
 * @param method HTTP method, or {@code *} for any
 * @param pathPrefix prefix of the path within the service, starting with {@code /}
 * @param repeatability whether the calls may be repeated
 */
public record CallRule(String method, String pathPrefix, Repeatability repeatability) {
  boolean matches(String callMethod, String path) {
    boolean methodMatches = method.equals("*") || method.equals(callMethod);
    return methodMatches && path.startsWith(pathPrefix);
  }
}
