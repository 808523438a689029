// Package operatorapi is the operators' HTTP interface of the controllers:
// its JSON messages, its routes, its OpenAPI page and its client.
//
// Every change carries a request id. Sending the same change again under the
// same id, to any controller, gives the first answer again and changes nothing.
package operatorapi
