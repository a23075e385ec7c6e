/** Public header of library http: HTTP/1.1 server and client over TCP. Every
 * coroutine that does I/O must be spawned on its own strand; a connection uses
 * the executor of the coroutine that creates it. */
#ifndef SRC_HTTP_H_
#define SRC_HTTP_H_

#include "src/http_client.h"
#include "src/http_server.h"
#include "src/http_type.h"
#include "src/net.h"

#endif  // SRC_HTTP_H_
