package org.limpetdoor.core.config;

/**
 * Says for some calls of a plain service whether they may be repeated.
 *
 * @param method HTTP method, or {@code *} for any
 * @param pathPrefix start of the path within the service, beginning with {@code /}
 * @param repeatability whether the calls may be repeated
 */
public record CallRule(String method, String pathPrefix, Repeatability repeatability) {
  boolean matches(String callMethod, String path) {
    boolean methodMatches = method.equals("*") || method.equals(callMethod);
    return methodMatches && path.startsWith(pathPrefix);
  }
}
