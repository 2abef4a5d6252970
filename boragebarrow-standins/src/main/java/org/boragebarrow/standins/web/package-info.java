/** A small HTTP/1.1 server on which the stand-ins of the outside systems are built; for trials and tests only. */
package org.boragebarrow.standins.web;
