/** Public header of library http: HTTP/1.1 server and client over TCP. Every
 * coroutine that does I/O is spawned on a strand of its own, and connections
 * take the executor of the coroutine that makes them. */
#ifndef SRC_HTTP_H_
#define SRC_HTTP_H_

#include "src/http_client.h"
#include "src/http_server.h"
#include "src/http_type.h"
#include "src/net.h"

#endif  // SRC_HTTP_H_
