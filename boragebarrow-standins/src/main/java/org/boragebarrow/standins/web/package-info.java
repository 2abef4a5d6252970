/** A small HTTP/1.1 server that the stand-ins for external systems use; for trials and tests only. */
package org.boragebarrow.standins.web;
