/** Stand-in of the plain service. */
package org.limpetdoor.standin.service;
