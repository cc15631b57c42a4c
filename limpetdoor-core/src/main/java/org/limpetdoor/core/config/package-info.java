/** The configuration that operators publish: contracts, models, engines, plain services. */
package org.limpetdoor.core.config;
