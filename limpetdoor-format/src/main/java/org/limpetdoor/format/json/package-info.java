/** Reads JSON with comments and reports all problems of a document in one pass. */
package org.limpetdoor.format.json;
