/** The measures of the design page on virtual time, against two baselines. */
package org.limpetdoor.bench.experiment;
