package org.limpetdoor.cli;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Lists the exit codes of a command for its help. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
@interface ExitCodes {
  /** Exit codes in addition to {@code ok}, {@code internal} and {@code usage}. */
  ExitCode[] value() default {};
}
