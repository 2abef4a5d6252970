/** Runs membership and notifies the other duties which hosts are alive and which of them holds each role. */
package org.boragebarrow.node.member;
