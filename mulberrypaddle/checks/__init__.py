"""Checks of a configuration before it is put in force.

No module here uses the network. `platform_form` checks the platform's JSON
document, `own_documents` a folder of this project's documents, and
`differences` compares two of either.
"""
