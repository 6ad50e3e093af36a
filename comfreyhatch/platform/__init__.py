"""Adapter to the users' platform: decodes its wire into the product's types, and back."""
