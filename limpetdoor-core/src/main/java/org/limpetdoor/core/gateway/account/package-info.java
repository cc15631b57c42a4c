/** Client accounts of a deployment: who a caller is, its priority and its allowance. */
package org.limpetdoor.core.gateway.account;
