/** Accepts HTTP/1.1 connections with bounded headers, bodies, connections and buffers. */
package org.boragebarrow.http.server;
