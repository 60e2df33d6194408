// Public header of the base library: errors, results, names of enumerators, time, random numbers,
// hashes, identifiers and JSON-line logs. Include this header, not the individual ones.
#pragma once

#include "base/address.h"
#include "base/awaitable.h"
#include "base/base64.h"
#include "base/clock.h"
#include "base/environment.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/ids.h"
#include "base/json_fields.h"
#include "base/log.h"
#include "base/mechanisms.h"
#include "base/names.h"
#include "base/random.h"
#include "base/result.h"
