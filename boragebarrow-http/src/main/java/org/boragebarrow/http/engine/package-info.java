/** The adapter for model engines: their protocol over HTTP and server-sent events. */
package org.boragebarrow.http.engine;
