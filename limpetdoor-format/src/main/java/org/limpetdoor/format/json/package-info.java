/** Reading of JSON with comments that reports all problems of a document in one pass. */
package org.limpetdoor.format.json;
