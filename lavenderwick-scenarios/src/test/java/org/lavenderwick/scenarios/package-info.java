/** Scenarios over real sockets: one for each guarantee and each fault, judged by the independent history checker. */
package org.lavenderwick.scenarios;
