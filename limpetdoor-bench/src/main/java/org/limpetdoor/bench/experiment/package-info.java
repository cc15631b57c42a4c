/** Experiments on virtual time that compare limpetdoor with two baselines. */
package org.limpetdoor.bench.experiment;
