// Storage of easylogging++. It belongs to that library's target, so that
// whoever links one has the other.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
