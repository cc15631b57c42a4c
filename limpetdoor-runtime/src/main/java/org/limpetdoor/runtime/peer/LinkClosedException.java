package org.limpetdoor.runtime.peer;

import org.limpetdoor.core.LimpetdoorException;

/** Reports that a message was not sent because its link was closed. */
public final class LinkClosedException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  LinkClosedException(LinkError error) {
    super("the link to the peer was closed: " + error.label(), null);
  }
}
