/** Session tokens and transaction handles, which callers hold in signed form. */
package org.lavenderwick.core.session;
