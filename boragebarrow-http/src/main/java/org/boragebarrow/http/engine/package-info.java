/** The adapter for model engines: their wire protocol over HTTP and server-sent events. */
package org.boragebarrow.http.engine;
