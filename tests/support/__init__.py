"""Small fakes shared by the tests."""
